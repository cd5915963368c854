/**
 * Release notes: their form, the check of a note, the difference that it makes and its
 * acceptance.
 */
@NullMarked
package org.crocuspost.release;

import org.jspecify.annotations.NullMarked;
