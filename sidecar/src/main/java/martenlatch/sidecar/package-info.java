/**
 * One sidecar process: start-up, warm-up, reload and graceful shutdown; the only place where its parts are wired. It
 * may use every package but {@code cli}.
 */
package martenlatch.sidecar;
