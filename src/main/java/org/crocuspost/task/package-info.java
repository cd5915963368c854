/**
 * States, transitions and identities of batch tasks, as stored in the table service.
 */
@NullMarked
package org.crocuspost.task;

import org.jspecify.annotations.NullMarked;
