package org.crocuspost.platform.objects;

import java.util.stream.Stream;

import org.crocuspost.standin.objects.ObjectStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ObjectStoreTests {

	static Stream<ObjectStoreContract.Case> cases() {
		return ObjectStoreContract.cases();
	}

	@ParameterizedTest
	@MethodSource("cases")
	void inMemory(ObjectStoreContract.Case contractCase) {
		ObjectStandIn standIn = new ObjectStandIn();
		contractCase.check().accept(standIn, standIn);
	}

}
