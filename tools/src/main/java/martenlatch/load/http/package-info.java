/** HTTP/1.1 for the load generator, as the platform's clients speak it. It may use the generator's words. */
package martenlatch.load.http;
