/**
 * Error codes and the verdict that each implies: whether the failed request or write may
 * have taken effect.
 */
@NullMarked
package org.crocuspost.error;

import org.jspecify.annotations.NullMarked;
