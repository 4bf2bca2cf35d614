/**
 * One external processor: start, warm-up, reload and drain, its command line, and the baseline that it is measured
 * against. It may use every package; none uses it.
 */
package martenlatch.extproc;
