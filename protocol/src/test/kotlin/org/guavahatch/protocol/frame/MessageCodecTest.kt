package org.guavahatch.protocol.frame

import org.guavahatch.model.configuration.ConfigurationVersion
import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.protocol.message.AnswerFailed
import org.guavahatch.protocol.message.Attach
import org.guavahatch.protocol.message.Digest
import org.guavahatch.protocol.message.EndpointCall
import org.guavahatch.protocol.message.FailureReason
import org.guavahatch.protocol.message.Grant
import org.guavahatch.protocol.message.Heartbeat
import org.guavahatch.protocol.message.Leaving
import org.guavahatch.protocol.message.Message
import org.guavahatch.protocol.message.Offer
import org.guavahatch.protocol.message.QueuedTier
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs

class MessageCodecTest {
    private val id = RequestId(Incarnation("entry.1"), 7)
    private val call = EndpointCall("POST", "/orders", "application/json", "key", byteArrayOf(1, 2, 3))
    private val messages: List<Message> = listOf(
        Heartbeat(ConfigurationVersion(3, "abc")),
        Leaving,
        Offer(id, 1, 0, "shop", 2, "chat", 10.0, 2.0, 50, 1000, DispatchRule.RESUMABLE),
        Attach(id, 1, 12, hasHead = true),
        AnswerFailed(id, 2, FailureReason.CUT),
        Digest(EndpointId("e"), "pool", true, 1, 2.0, listOf(QueuedTier(0, 1, 2.0)), 1, 3.0),
        Grant(id, Incarnation("sidecar.1"), 1, 900, call),
    )

    @Test
    fun `every message is unchanged after encoding and decoding`() {
        messages.filterNot { it is Grant }.forEach { message ->
            assertEquals(message, MessageCodec.decode(MessageCodec.encode(message)).getOrNull())
        }
        val grant = assertIs<Grant>(MessageCodec.decode(MessageCodec.encode(messages.last())).getOrNull())
        assertContentEquals(call.body, grant.call.body)
    }

    @Test
    fun `the decoder throws no exception for corrupted payloads`() {
        val random = Random(1)
        val payloads = messages.map(MessageCodec::encode)
        repeat(40_000) { round ->
            val bytes = if (round % 4 == 0) random.nextBytes(random.nextInt(200)) else payloads.random(random).copyOf()
            repeat(random.nextInt(4)) {
                if (bytes.isNotEmpty()) bytes[random.nextInt(bytes.size)] = random.nextInt().toByte()
            }
            MessageCodec.decode(bytes.copyOf(random.nextInt(bytes.size + 1)))
        }
    }
}
