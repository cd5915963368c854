package org.crocuspost.platform.http;

import java.util.List;

import io.vavr.collection.Vector;
import org.crocuspost.platform.table.Transaction;

/**
 * Body of a table service request that contains a transaction.
 *
 * @param conditions the versions that rows must have
 * @param writes the rows to write or delete
 */
public record TransactionBody(List<Transaction.Condition> conditions, List<Transaction.Write> writes) {

	public TransactionBody {
		conditions = List.copyOf(conditions);
		writes = List.copyOf(writes);
	}

	/**
	 * Creates a body from a transaction.
	 * @param transaction the transaction
	 * @return the body
	 */
	public static TransactionBody of(Transaction transaction) {
		return new TransactionBody(transaction.conditions().asJava(), transaction.writes().asJava());
	}

	/**
	 * Converts the body to a transaction.
	 * @return the transaction
	 */
	public Transaction transaction() {
		return new Transaction(Vector.ofAll(this.conditions), Vector.ofAll(this.writes));
	}

}
