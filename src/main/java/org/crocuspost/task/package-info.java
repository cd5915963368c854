/**
 * Batch tasks: states, transitions and identities.
 */
@NullMarked
package org.crocuspost.task;

import org.jspecify.annotations.NullMarked;
