package org.crocuspost.rows;

/**
 * Request for a page of one partition of a table.
 *
 * @param table the table
 * @param partition the partition, from 0 to {@link RowStore#partitions(String)} - 1
 * @param fromKey the first key that may be returned; empty for the start
 * @param maximumRows the maximum number of rows to return, up to
 * {@link RowStore#MAXIMUM_PAGE_ROWS}; the store may return fewer
 */
public record PageRequest(String table, int partition, String fromKey, int maximumRows) {

	public PageRequest {
		if (maximumRows < 1 || maximumRows > RowStore.MAXIMUM_PAGE_ROWS) {
			throw new IllegalArgumentException("a page has no room for " + maximumRows + " rows");
		}
	}

	/**
	 * Creates a request for the first page of a partition.
	 * @param table the table
	 * @param partition the partition
	 * @return the request
	 */
	public static PageRequest first(String table, int partition) {
		return new PageRequest(table, partition, "", RowStore.MAXIMUM_PAGE_ROWS);
	}

}
