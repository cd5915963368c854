/**
 * Reconstructs the timeline of one job from the logs of all processes.
 */
@org.jspecify.annotations.NullMarked
package org.crocuspost.timeline;
