/**
 * The tour: drives a local deployment as callers and operators do and judges what they
 * saw.
 */
@NullMarked
package org.crocuspost.tour;

import org.jspecify.annotations.NullMarked;
