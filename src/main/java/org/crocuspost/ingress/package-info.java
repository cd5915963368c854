/**
 * Handles the requests with which callers submit, query and cancel jobs.
 */
@NullMarked
package org.crocuspost.ingress;

import org.jspecify.annotations.NullMarked;
