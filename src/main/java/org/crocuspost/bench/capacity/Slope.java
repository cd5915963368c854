package org.crocuspost.bench.capacity;

/**
 * Holds the cost of an operation or message at two sizes. The cost grows linearly with
 * the size.
 *
 * @param name the operation or message whose cost is measured
 * @param costUnit the unit of the cost
 * @param sizeUnit what the size counts, such as workers
 * @param smallSize the smaller size
 * @param smallCost the cost at the smaller size
 * @param largeSize the larger size
 * @param largeCost the cost at the larger size
 */
record Slope(String name, String costUnit, String sizeUnit, int smallSize, double smallCost, int largeSize,
		double largeCost) {

	/**
	 * Returns the additional cost per unit of size.
	 * @return the slope in cost units
	 */
	double costPerUnit() {
		return (this.largeCost - this.smallCost) / (this.largeSize - this.smallSize);
	}

}
