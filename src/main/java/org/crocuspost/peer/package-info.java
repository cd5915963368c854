/**
 * Authenticated connections over which entries, schedulers and agents exchange frames and
 * call each other.
 */
@NullMarked
package org.crocuspost.peer;

import org.jspecify.annotations.NullMarked;
