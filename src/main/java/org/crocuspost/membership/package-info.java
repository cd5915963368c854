/**
 * Membership: how entries and schedulers find each other through the table, and how
 * agents find entries and the scheduler of their failure domain.
 */
@NullMarked
package org.crocuspost.membership;

import org.jspecify.annotations.NullMarked;
