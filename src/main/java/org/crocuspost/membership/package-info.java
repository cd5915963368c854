/**
 * Service discovery: entries and schedulers list themselves as members in the table and
 * find each other there, and agents find entries and the scheduler of their failure
 * domain.
 */
@NullMarked
package org.crocuspost.membership;

import org.jspecify.annotations.NullMarked;
