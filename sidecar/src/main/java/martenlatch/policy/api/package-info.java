/**
 * The types that a load balancer and its host share: settings, endpoints, requests, the events that go in and the
 * actions that come out. May depend on the Java platform only.
 */
package martenlatch.policy.api;
