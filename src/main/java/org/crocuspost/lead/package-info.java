/**
 * Leader election and the leader. One process makes the decisions on all jobs; another
 * one takes over when the leader is unresponsive.
 */
@NullMarked
package org.crocuspost.lead;

import org.jspecify.annotations.NullMarked;
