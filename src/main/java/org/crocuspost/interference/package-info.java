/**
 * Control of the interference of batch work with services: measurement, throttling,
 * eviction and what placement learns from it.
 */
@NullMarked
package org.crocuspost.interference;

import org.jspecify.annotations.NullMarked;
