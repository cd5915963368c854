/**
 * Reads JSON, with comments where people write it, and writes JSON. Faults in documents
 * from outside are reported with line, column and path.
 */
@NullMarked
package org.crocuspost.json;

import org.jspecify.annotations.NullMarked;
