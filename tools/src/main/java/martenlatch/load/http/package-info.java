/** HTTP/1.1 for the load generator, as the platform's clients use it. Depends on the load package only. */
package martenlatch.load.http;
