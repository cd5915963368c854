package org.crocuspost.cli;

/**
 * Output format of a command.
 */
enum OutputFormat {

	/**
	 * Columns aligned for reading.
	 */
	table,

	/**
	 * JSON as the entry sent it.
	 */
	json

}
