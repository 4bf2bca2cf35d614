/**
 * Reports the result of a run as text, as JSON and as a self-contained HTML page. It only reads the history and the
 * verdict.
 */
package martenlatch.fleet.report;
