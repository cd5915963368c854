/**
 * Settings of each process: immutable records, and readers that report all faults of a
 * settings file at once.
 */
@NullMarked
package org.crocuspost.settings;

import org.jspecify.annotations.NullMarked;
