/**
 * One external processor put together: configuration, start, warm-up, reload and drain, its command line, and
 * the empty processor that it is measured beside. It may use every room; none uses it.
 */
package martenlatch.extproc;
