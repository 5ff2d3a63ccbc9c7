/** Selects items evenly over places. */
export class PlaceSpread {
  /**
   * Selects items by round-robin over their places, so that every place occurs once before any place occurs twice.
   * @param items - Items in the order of preference; the order of the places is that of their first items.
   * @param getPlace - Gets the place of an item.
   * @param limit - Maximum number of items.
   */
  static takeEvenly<Item>(items: readonly Item[], getPlace: (item: Item) => string, limit: number): Item[] {
    const groups = new Map<string, Item[]>();
    items.forEach((item) => {
      const group = groups.get(getPlace(item));
      if (group === undefined) groups.set(getPlace(item), [item]);
      else group.push(item);
    });
    const taken: Item[] = [];
    // Each round takes one item of every place, until the limit is reached or all items are taken.
    for (let round = 0; taken.length < Math.min(limit, items.length); round += 1) {
      groups.forEach((group) => {
        const item = group[round];
        if (item !== undefined && taken.length < limit) taken.push(item);
      });
    }
    return taken;
  }
}
