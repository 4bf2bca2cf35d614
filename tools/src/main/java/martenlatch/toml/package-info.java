/** Reads settings from TOML files. Does not depend on the sidecar. */
package martenlatch.toml;
