/**
 * Tells what a run came to: lines, JSON, and a page without outside files. It reads histories and verdicts
 * only.
 */
package martenlatch.fleet.report;
