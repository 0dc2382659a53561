"""A made-up corpus of match reports, the same on every machine: a document follows from its number alone."""

from __future__ import annotations

import random
from typing import Any

INDEX = "reports"
FIELDS = {
    "title": "text",
    "body": "text",
    "game": "keyword",
    "club": "keyword",
    "player": "keyword",
    "rating": "integer",
    "moves": "integer",
    "played": "date",
    "ranked": "boolean",
}
GAMES = (
    "go",
    "chess",
    "draughts",
    "hex",
    "reversi",
    "mancala",
    "shogi",
    "backgammon",
    "tafl",
    "mill",
)
OPENINGS = (
    "classical",
    "quiet",
    "wild",
    "modern",
    "gambit",
    "closed",
    "open",
    "flank",
    "corner",
    "centre",
)
WORDS = (
    "attack defence endgame blunder sacrifice tempo fork pin ladder bridge capture territory opening pressure "
    "recovery exchange victory defeat draw clock resignation analysis variation mistake brilliant quiet long "
    "short surprising careful reckless patient decisive balanced sharp solid narrow wide early late"
).split()
FIRST_DAY = 1_640_995_200_000  # 2022-01-01, in milliseconds
DAYS = 1_400


def name_of(number: int) -> str:
    return f"r{number:07d}"


def document(number: int) -> dict[str, Any]:
    pick = random.Random(number * 2_654_435_761 + 17)
    roll = pick.random
    game, opening = GAMES[int(roll() ** 1.7 * 10)], OPENINGS[int(roll() * 10)]
    words = [WORDS[int(roll() ** 1.4 * len(WORDS))] for _ in range(14)]
    club = f"club-{int(roll() ** 2 * 200):03d}"
    document: dict[str, Any] = {
        "title": f"{opening} {game} {words[0]}",
        "body": " ".join(words),
        "game": game,
        "club": club,
        "player": f"player-{int(roll() ** 2 * 5000):04d}",
        "rating": 800 + int((roll() + roll()) * 800),
        "moves": 10 + int(roll() * 190),
        "played": FIRST_DAY + int(roll() * DAYS) * 86_400_000 + int(roll() * 86_400_000),
    }
    if number % 7:
        document["ranked"] = roll() < 0.6
    return document
