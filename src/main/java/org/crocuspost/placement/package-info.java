/**
 * Policies that choose the worker on which a task starts.
 */
@NullMarked
package org.crocuspost.placement;

import org.jspecify.annotations.NullMarked;
