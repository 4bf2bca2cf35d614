/**
 * One sidecar process put together: configuration, start, warm-up, reload and drain.
 * It may use every room but the command line.
 */
package martenlatch.sidecar;
