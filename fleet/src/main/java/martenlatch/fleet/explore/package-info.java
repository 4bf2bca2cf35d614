/**
 * Searches for fault plans that violate a rule: draws random plans within bounds, and reduces a failing plan to the
 * faults that are needed. The caller runs the plans.
 */
package martenlatch.fleet.explore;
