package org.guavahatch.model.configuration

import java.security.MessageDigest
import java.util.HexFormat

/** Names content by its hash. */
public object ContentHash {
    /** SHA-256 of [text] in UTF-8, in hexadecimal digits. */
    public fun of(text: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}
