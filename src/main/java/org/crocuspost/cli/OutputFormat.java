package org.crocuspost.cli;

/**
 * Form of a command's output.
 */
enum OutputFormat {

	/**
	 * Aligned columns for people.
	 */
	table,

	/**
	 * JSON as the entry sent it.
	 */
	json

}
