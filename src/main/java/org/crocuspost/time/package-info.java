/**
 * Time as an injected dependency: clocks, timers and virtual time.
 */
@NullMarked
package org.crocuspost.time;

import org.jspecify.annotations.NullMarked;
