/**
 * Entry for callers: submits, shows and cancels jobs.
 */
@NullMarked
package org.crocuspost.ingress;

import org.jspecify.annotations.NullMarked;
