/**
 * Connections between the processes of crocuspost.
 */
@NullMarked
package org.crocuspost.peer;

import org.jspecify.annotations.NullMarked;
