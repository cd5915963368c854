package org.crocuspost.wire;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the generated code of a report and its descriptor agree on each field. A
 * field that one of them misses is lost on the way to the leader without an error.
 */
class HostReportTests {

	private static Object value(FieldDescriptor field) {
		return switch (field.getJavaType()) {
			case INT -> 300 + field.getNumber();
			case LONG -> 70_000_000_000L + field.getNumber();
			case BOOLEAN -> true;
			case STRING -> "text " + field.getNumber();
			case MESSAGE -> DynamicMessage.getDefaultInstance(field.getMessageType());
			default -> throw new IllegalArgumentException(field.getFullName());
		};
	}

	@Test
	void eachFieldIsReadAsItWasWritten() throws InvalidProtocolBufferException {
		List<Integer> numbers = new ArrayList<>();
		for (FieldDescriptor field : HostReport.getDescriptor().getFields()) {
			numbers.add(field.getNumber());
			DynamicMessage.Builder builder = DynamicMessage.newBuilder(HostReport.getDescriptor());
			if (field.isRepeated()) {
				builder.addRepeatedField(field, value(field));
			}
			else {
				builder.setField(field, value(field));
			}
			DynamicMessage dynamic = builder.build();
			HostReport generated = HostReport.parseFrom(dynamic.toByteArray());
			assertThat(generated.getUnknownFields().asMap()).isEmpty();
			assertThat(generated.getAllFields()).containsOnlyKeys(field);
			assertThat(generated.toByteString()).isEqualTo(dynamic.toByteString());
			assertThat(generated.getSerializedSize()).isEqualTo(dynamic.getSerializedSize());
			HostReport merged = HostReport.newBuilder().mergeFrom(generated).build();
			assertThat(merged).isEqualTo(generated).hasSameHashCodeAs(generated);
			assertThat(merged).isNotEqualTo(HostReport.getDefaultInstance());
			assertThat(merged.toBuilder().clearField(field).build()).isEqualTo(HostReport.getDefaultInstance());
			assertThat(merged.toBuilder().clear().build()).isEqualTo(HostReport.getDefaultInstance());
		}
		assertThat(numbers).containsExactly(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18);
	}

	@Test
	void accessorsOfTheLeaseBasisUseItsField() {
		HostReport report = HostReport.newBuilder().setLeaseBasisAgeMillis(7).build();
		FieldDescriptor field = HostReport.getDescriptor()
			.findFieldByNumber(HostReport.LEASE_BASIS_AGE_MILLIS_FIELD_NUMBER);
		assertThat(field.getName()).isEqualTo("lease_basis_age_millis");
		assertThat(report.getField(field)).isEqualTo(7L);
		assertThat(report.toBuilder().clearLeaseBasisAgeMillis().build()).isEqualTo(HostReport.getDefaultInstance());
	}

	@Test
	void accessorsOfTheFencedEpochUseItsField() {
		HostReport report = HostReport.newBuilder().setFencedEpoch(7).build();
		FieldDescriptor field = HostReport.getDescriptor().findFieldByNumber(HostReport.FENCED_EPOCH_FIELD_NUMBER);
		assertThat(field.getName()).isEqualTo("fenced_epoch");
		assertThat(report.getField(field)).isEqualTo(7L);
		assertThat(report.toBuilder().clearFencedEpoch().build()).isEqualTo(HostReport.getDefaultInstance());
	}

}
