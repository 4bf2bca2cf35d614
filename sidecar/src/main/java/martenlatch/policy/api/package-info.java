/**
 * The types that a load balancer and its host share: settings, endpoints, requests, the events that the host passes in
 * and the actions that the balancer requests. This package may depend on the Java platform only.
 */
package martenlatch.policy.api;
