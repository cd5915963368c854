package org.crocuspost.bench.capacity;

/**
 * Cost that grows in proportion to a size.
 *
 * @param name what costs
 * @param unit the unit of the cost
 * @param size the name of the size
 * @param small the smaller size
 * @param smallCost the cost at the smaller size
 * @param large the larger size
 * @param largeCost the cost at the larger size
 */
record Slope(String name, String unit, String size, int small, double smallCost, int large, double largeCost) {

	/**
	 * Returns the cost of one more.
	 * @return the slope
	 */
	double perUnit() {
		return (this.largeCost - this.smallCost) / (this.large - this.small);
	}

}
