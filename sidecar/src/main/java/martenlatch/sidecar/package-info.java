/**
 * The sidecar process: start-up, warm-up, reload and graceful shutdown. Its components are wired only here. This
 * package may depend on every other package except {@code cli}.
 */
package martenlatch.sidecar;
