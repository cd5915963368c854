/**
 * Command line with which operators submit release notes and inspect a deployment. Its
 * commands call the operators' HTTP interface of the entries.
 */
@NullMarked
package org.crocuspost.cli;

import org.jspecify.annotations.NullMarked;
