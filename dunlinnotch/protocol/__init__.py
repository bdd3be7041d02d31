"""Messages, headers and codecs as typed values, without sockets."""
