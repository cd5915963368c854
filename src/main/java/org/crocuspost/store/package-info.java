/**
 * Protection of the platform's stores against overload by a circuit breaker, backoff and
 * a limit of concurrent calls, and the resolution of commits whose answer was lost.
 */
@NullMarked
package org.crocuspost.store;

import org.jspecify.annotations.NullMarked;
