/**
 * Protection of the platform's stores: circuit breaker, backoff, a bound on calls in
 * flight, and the resolution of commits whose answer was lost.
 */
@NullMarked
package org.crocuspost.store;

import org.jspecify.annotations.NullMarked;
