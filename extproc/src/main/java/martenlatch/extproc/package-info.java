/**
 * The external processor program: its command line, start, warm-up, reload and drain, and the baseline server that it
 * is compared with in measurements. This package may use all others; no other package may use it.
 */
package martenlatch.extproc;
