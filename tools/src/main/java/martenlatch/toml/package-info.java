/** Settings from TOML files, with plain words for what can't be used. It may use nothing of the product. */
package martenlatch.toml;
