/**
 * Settings of each process: records, and readers that report every fault of a file at
 * once.
 */
@NullMarked
package org.crocuspost.settings;

import org.jspecify.annotations.NullMarked;
