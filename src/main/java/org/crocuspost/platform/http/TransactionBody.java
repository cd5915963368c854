package org.crocuspost.platform.http;

import java.util.List;

import io.vavr.collection.Vector;
import org.crocuspost.platform.table.Transaction;

/**
 * A transaction on its way to the table service.
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
	 * Creates the body that carries a transaction.
	 * @param transaction the transaction
	 * @return the body
	 */
	public static TransactionBody of(Transaction transaction) {
		return new TransactionBody(transaction.conditions().asJava(), transaction.writes().asJava());
	}

	/**
	 * Returns the transaction that the body carries.
	 * @return the transaction
	 */
	public Transaction transaction() {
		return new Transaction(Vector.ofAll(this.conditions), Vector.ofAll(this.writes));
	}

}
