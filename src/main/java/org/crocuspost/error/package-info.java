/**
 * Errors: the catalogue of codes and the verdict that says whether a request may have
 * run.
 */
@NullMarked
package org.crocuspost.error;

import org.jspecify.annotations.NullMarked;
