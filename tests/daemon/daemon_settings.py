"""Settings of a node for tests of the daemon."""

from clementinekeel.runtime import settings

SETTINGS = """\
[node]
id = n1
zone = z
region = r
[nodes]
listen = {listen}
keys = 00112233445566778899aabbccddeeff
[callers]
listen = 127.0.0.1:0
[backend]
listen = 127.0.0.1:0
[platform]
urls = http://127.0.0.1:1
[operators]
listen = 127.0.0.1:0
"""


def load(folder, listen="127.0.0.1:0"):
    path = folder / "node.ini"
    path.write_text(SETTINGS.format(listen=listen))
    return settings.load(str(path)).unwrap()
