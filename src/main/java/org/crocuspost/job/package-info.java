/**
 * Jobs of batch work and lasting services: what callers submit and how far each job is.
 */
@NullMarked
package org.crocuspost.job;

import org.jspecify.annotations.NullMarked;
