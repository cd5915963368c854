/**
 * Limits the slowdown of services by batch tasks on the same worker: measures it,
 * throttles and evicts attempts, and provides the learned penalties to placement.
 */
@NullMarked
package org.crocuspost.interference;

import org.jspecify.annotations.NullMarked;
