package org.guavahatch.gateway.peer

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Datagram between gateways, in CBOR with numbered fields. Echoes and accounts make up most of it and are sent less
 * often than the load.
 *
 * @property name name of the sender
 * @property incarnation incarnation of the sender
 * @property sequence number of the datagram, rising within an incarnation from a random first number
 * @property echoes highest sequence received from each peer, or null if left out; all peers get the same datagram
 * @property configurationVersion version of the configuration in force at the sender
 * @property configurationAge milliseconds since that version was confirmed as the newest, or -1
 * @property load the sender's requests and their prompt tokens that are not prefilled yet, by endpoint
 * @property accountUse units admitted since the sender's start, by account, or null if left out
 * @property accountLevels units left, by account, or null if left out
 * @property waiting order of the highest rank that waits, and the number of its requests, by pool
 */
@Serializable
internal class PeerDatagram(
    @CborLabel(1) val name: String,
    @CborLabel(2) val incarnation: String,
    @CborLabel(3) val sequence: Long,
    @CborLabel(4) val echoes: Map<String, Long>?,
    @CborLabel(5) val configurationVersion: Long,
    @CborLabel(6) val configurationAge: Long,
    @CborLabel(7) val load: Map<String, List<Long>>,
    @CborLabel(8) val accountUse: Map<String, Long>?,
    @CborLabel(9) val accountLevels: Map<String, Long>?,
    @CborLabel(10) val waiting: Map<String, List<Int>>,
)
