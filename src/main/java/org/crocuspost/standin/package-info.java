/**
 * In-memory stand-ins for the platform services, used by tests and local deployments.
 * Faults of the services can be simulated.
 */
@NullMarked
package org.crocuspost.standin;

import org.jspecify.annotations.NullMarked;
